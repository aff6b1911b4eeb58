package org.magnolialead.ctl;

import java.util.List;
import java.util.Map;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Rank;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;

/**
 * Adds or replaces a profile.
 */
final class PutProfileCommand extends AbstractConfigChangeCommand {

	@Argument(required = true, metaVar = "NAME", usage = "name of the profile")
	private String name;

	@Option(name = "--rank", required = true, usage = "urgency of the requests")
	private Rank rank;

	@Option(name = "--freshness", required = true, usage = "freshness rule for reads")
	private FreshnessRule freshness;

	@Option(name = "--maximum-age-milliseconds", usage = "maximum age of the data that a read returns, for MAXIMUM_AGE")
	private long maximumAgeMilliseconds;

	@Option(name = "--repeatable", usage = "requests may be sent to a database more than once")
	private boolean repeatable;

	@Option(name = "--unreplicated-confirmation", usage = "acknowledge writes that only the primary holds")
	private boolean unreplicatedConfirmation;

	@Override
	ChangeConfiguration change(String changeRequestId, long version) {
		try {
			Profile profile = new Profile(this.name, this.rank, this.freshness, this.maximumAgeMilliseconds,
					this.repeatable, !this.unreplicatedConfirmation);
			return new ChangeConfiguration(changeRequestId, version, Map.of(this.name, profile), List.of(), null, null);
		}
		catch (IllegalArgumentException ex) {
			throw CtlException.wrongArguments(ex.getMessage());
		}
	}

}
