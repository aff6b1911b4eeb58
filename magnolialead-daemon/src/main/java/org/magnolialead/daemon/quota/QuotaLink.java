package org.magnolialead.daemon.quota;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.QuotaAnswer;
import org.magnolialead.api.message.QuotaDemand;

/**
 * Sends requests for tokens to the control leader.
 */
@FunctionalInterface
public interface QuotaLink {

	/**
	 * Link of a daemon without a control leader.
	 */
	QuotaLink NONE = (demands, deadline) -> CompletableFuture
		.failedFuture(new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONTROL, "", "no control leader"));

	/**
	 * Requests tokens without retries.
	 * @param demands demand by account
	 * @param deadline monotonic time in nanoseconds until which to wait for the answer
	 * @return the answer, completed on any thread; fails if there is none by the deadline
	 */
	CompletableFuture<QuotaAnswer> requestTokens(List<QuotaDemand> demands, long deadline);

}
