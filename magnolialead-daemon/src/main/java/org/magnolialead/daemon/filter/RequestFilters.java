package org.magnolialead.daemon.filter;

import java.util.List;
import java.util.function.Supplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.daemon.servicelevel.ServiceLevelRecorder;

/**
 * Creates the filter chain of an entry daemon.
 */
public final class RequestFilters {

	private RequestFilters() {
	}

	/**
	 * Creates the chain. A request passes the checks of syntax, lease, profile, deadline,
	 * session token and admission in this order and is then dispatched. Service levels
	 * are recorded before the lease check, because rejections without a lease count;
	 * metrics are recorded once the profile is known. Results are checked against the
	 * lease again before they are returned.
	 * @param clock clock of the deadlines
	 * @param gate the lease of this daemon
	 * @param views returns the current fleet view
	 * @param tokens signs and checks session tokens
	 * @param admission limits the requests in progress
	 * @param metrics counts the requests
	 * @param serviceLevels records the requests by profile and time
	 * @param dispatcher hands the requests to the owners of their groups
	 * @return the chain
	 */
	public static FilterChain chain(MonotonicClock clock, LeaseGate gate, Supplier<FleetView> views,
			SessionTokenCodec tokens, AdmissionControl admission, ServedRequestMetrics metrics,
			ServiceLevelRecorder serviceLevels, GroupDispatcher dispatcher) {
		List<RequestFilter> filters = List.of(new SyntaxFilter(), new ServiceLevelFilter(serviceLevels, views, clock),
				new LeaseFilter(gate, clock), new ProfileFilter(views), new MetricsFilter(metrics, clock),
				new ResultFilter(gate, clock), new DeadlineFilter(clock), new SessionFilter(tokens),
				new AdmissionFilter(admission));
		return FilterChain.of(filters, new DispatchStep(dispatcher, tokens, clock));
	}

}
