package org.magnolialead.api.message;

import java.util.List;
import java.util.Objects;

/**
 * Request of an entry daemon to the control leader for tokens of client accounts.
 *
 * @param daemon name of the daemon
 * @param incarnation identifier of its process
 * @param demands demand by account
 */
public record QuotaRequest(String daemon, String incarnation, List<QuotaDemand> demands) {

	public QuotaRequest {
		Objects.requireNonNull(daemon, "daemon must not be null");
		Objects.requireNonNull(incarnation, "incarnation must not be null");
		demands = List.copyOf(demands);
	}

}
