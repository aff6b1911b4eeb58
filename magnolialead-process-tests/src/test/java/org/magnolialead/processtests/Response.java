package org.magnolialead.processtests;

import java.net.http.HttpHeaders;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * HTTP response to a client.
 *
 * @param status HTTP status code
 * @param headers response headers
 * @param body JSON body
 */
record Response(int status, HttpHeaders headers, JsonNode body) {

	String outcome() {
		return header("Magnolialead-Outcome");
	}

	boolean isDone() {
		return outcome().equals("DONE");
	}

	boolean isReplayed() {
		return header("Magnolialead-Repeated").equals("true");
	}

	String token() {
		return header("Magnolialead-Session-Token");
	}

	String member() {
		return header("Magnolialead-Member");
	}

	String transaction() {
		return header("Magnolialead-Transaction");
	}

	String header(String name) {
		return this.headers.firstValue(name).orElse("");
	}

	@Override
	public String toString() {
		return this.status + " " + outcome() + " " + this.body;
	}

}
