package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Profile;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Determines the profile of a request and checks its group against the current fleet
 * view. The view then applies to the whole request.
 */
final class ProfileFilter implements RequestFilter {

	private final Supplier<FleetView> views;

	ProfileFilter(Supplier<FleetView> views) {
		this.views = views;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		FleetView view = this.views.get();
		Profile profile = find(context, view);
		if (!view.groups().containsKey(context.group())) {
			throw rejection(ErrorCode.UNKNOWN_GROUP, "no database group \"%s\"".formatted(context.group()));
		}
		// The commit of a transaction needs no key, because a transaction can be
		// committed only once.
		boolean runsAtMostOnce = !profile.repeatable() && context.kind() == StatementKind.WRITE;
		if (runsAtMostOnce && context.idempotencyKey().isEmpty()) {
			throw rejection(ErrorCode.INVALID_IDEMPOTENCY_KEY,
					"a write with profile \"%s\" requires the header Idempotency-Key".formatted(profile.name()));
		}
		return next.proceed(context.withProfile(view, profile));
	}

	private static Profile find(RequestContext context, FleetView view) {
		String name = context.request().header(RequestHeaders.PROFILE).orElse("");
		Profile profile = view.configuration().profiles().get(name);
		if (profile == null) {
			throw rejection(ErrorCode.UNKNOWN_PROFILE, "profile \"%s\" does not exist".formatted(name));
		}
		return profile;
	}

	private static MagnolialeadException rejection(ErrorCode code, String message) {
		return new MagnolialeadException(code, Step.PROFILE, "", message);
	}

}
