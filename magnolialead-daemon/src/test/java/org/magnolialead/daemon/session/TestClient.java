package org.magnolialead.daemon.session;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.KeyDigest;
import org.magnolialead.api.session.StatementReply;

/**
 * Client that records the answers that it receives.
 */
final class TestClient implements ClientChannel {

	private final ManualLoop loop;

	private final ClientSession session;

	private final List<StatementReply> replies = new ArrayList<>();

	private final List<Long> repliedAt = new ArrayList<>();

	private boolean closed;

	private int statements;

	TestClient(ManualLoop loop, SessionService service, String database) {
		this(loop, service, database, "key");
	}

	TestClient(ManualLoop loop, SessionService service, String database, String key) {
		this.loop = loop;
		this.session = service.open(database, KeyDigest.of(key, StandardCharsets.US_ASCII), this).session();
	}

	/**
	 * Sends a statement and advances the time.
	 * @param verb kind of the statement
	 * @param name name of the session variable or prepared statement
	 * @param argument text after the name
	 * @param milliseconds time to advance
	 * @return the first answer that arrived meanwhile, or {@code null} if none did
	 */
	StatementReply send(ClientStatement.Verb verb, String name, String argument, long milliseconds) {
		int before = this.replies.size();
		this.statements++;
		String text = (verb + " " + name + " " + argument).trim();
		this.session
			.receive(new ClientStatement("id" + this.statements, verb, name, argument, text, this.loop.nanoseconds()));
		this.loop.advance(milliseconds);
		return (this.replies.size() > before) ? this.replies.get(before) : null;
	}

	StatementReply send(ClientStatement.Verb verb, String name, String argument) {
		return send(verb, name, argument, 100);
	}

	StatementReply send(ClientStatement.Verb verb) {
		return send(verb, "", "");
	}

	List<StatementReply> replies() {
		return this.replies;
	}

	List<Long> repliedAt() {
		return this.repliedAt;
	}

	boolean isClosed() {
		return this.closed;
	}

	ClientSession session() {
		return this.session;
	}

	@Override
	public void reply(StatementReply reply) {
		this.replies.add(reply);
		this.repliedAt.add(this.loop.milliseconds());
	}

	@Override
	public void close() {
		this.closed = true;
	}

}
