package org.magnolialead.daemon.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ForwardStatementAnswer;
import org.magnolialead.api.message.ForwardStatementRequest;
import org.magnolialead.api.message.RollBackForwarded;
import org.magnolialead.api.session.SessionState;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;
import org.magnolialead.transport.peer.PeerHandler;

/**
 * Handles the statements that one other daemon forwards over one connection. If the
 * connection is lost, the open transactions are rolled back.
 */
final class ForwardingHandler implements PeerHandler {

	private final SessionService service;

	private final Map<Long, ForwardedSession> transactions = new HashMap<>();

	private boolean closed;

	ForwardingHandler(SessionService service) {
		this.service = service;
	}

	@Override
	public CompletableFuture<Object> handle(Object message) {
		if (message instanceof ForwardStatementRequest request) {
			return run(request);
		}
		if (message instanceof RollBackForwarded rollBack) {
			ForwardedSession session = this.transactions.remove(rollBack.transaction());
			if (session != null) {
				session.interrupt();
			}
			return null;
		}
		throw new MagnolialeadException(ErrorCode.BAD_REQUEST, Step.FORWARD, "",
				"an entry daemon does not handle " + message.getClass().getSimpleName());
	}

	private CompletableFuture<Object> run(ForwardStatementRequest request) {
		String group = request.route().group();
		if (this.closed || !this.service.servesGroup(group)) {
			throw new MagnolialeadException(ErrorCode.NO_MEMBER, Step.FORWARD, group,
					"this daemon knows no members of the group");
		}
		if (request.transaction() == null) {
			return this.service.openForwarded(request.route(), request.account()).run(request);
		}
		long number = request.transaction().number();
		ForwardedSession session = this.transactions.get(number);
		if (request.transaction().first() && session == null) {
			session = this.service.openForwarded(request.route(), request.account());
			this.transactions.put(number, session);
		}
		if (session == null || session.isEnded()) {
			return CompletableFuture.completedFuture(transactionUnknown(request));
		}
		if (session.isAwaitingAnswer()) {
			throw new MagnolialeadException(ErrorCode.BAD_REQUEST, Step.FORWARD, group,
					"the previous statement of the transaction has not been answered");
		}
		ForwardedSession running = session;
		return running.run(request).whenComplete((answer, failure) -> {
			if (running.isEnded()) {
				this.transactions.remove(number, running);
			}
		});
	}

	// Without its connection the transaction was rolled back, so the promise is true for
	// a commit as well.
	private static ForwardStatementAnswer transactionUnknown(ForwardStatementRequest request) {
		SessionState state = (request.action() == ForwardStatementRequest.Action.COMMIT) ? SessionState.IDLE
				: SessionState.FAILED_TRANSACTION;
		return new ForwardStatementAnswer(
				StatementReply.failed(StatementError.ROLLED_BACK, "the transaction was rolled back", state), null);
	}

	@Override
	public void connectionClosed() {
		this.closed = true;
		List.copyOf(this.transactions.values()).forEach(ForwardedSession::interrupt);
		this.transactions.clear();
	}

}
