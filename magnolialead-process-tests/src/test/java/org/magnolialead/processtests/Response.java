package org.magnolialead.processtests;

import java.net.http.HttpHeaders;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Answer to a caller.
 *
 * @param status HTTP status
 * @param headers headers
 * @param body body
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
