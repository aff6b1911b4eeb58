package org.magnolialead.ctl;

import java.util.List;
import java.util.Map;

import org.kohsuke.args4j.Option;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.Rank;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;

/**
 * Sets the minimum share of slot time of the lower ranks.
 */
final class SetFloorsCommand extends AbstractConfigChangeCommand {

	@Option(name = "--standard", required = true, metaVar = "SHARE", usage = "floor of STANDARD from 0 to 0.5")
	private double standard;

	@Option(name = "--browsing", required = true, metaVar = "SHARE", usage = "floor of BROWSING from 0 to 0.5")
	private double browsing;

	@Override
	ChangeConfiguration change(String changeRequestId, long version) {
		Map<Rank, Double> floors = Map.of(Rank.STANDARD, this.standard, Rank.BROWSING, this.browsing);
		try {
			new FleetConfiguration(version, Map.of(), floors, FleetConfiguration.DEFAULT_QUEUE_LIMIT);
		}
		catch (IllegalArgumentException ex) {
			throw CtlException.wrongArguments(ex.getMessage());
		}
		return new ChangeConfiguration(changeRequestId, version, Map.of(), List.of(), floors, null);
	}

}
