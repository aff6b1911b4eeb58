package org.magnolialead.ctl;

import java.util.List;
import java.util.Map;

import org.kohsuke.args4j.Argument;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;

/**
 * Removes a profile.
 */
final class RemoveProfileCommand extends AbstractConfigChangeCommand {

	@Argument(required = true, metaVar = "NAME", usage = "name of the profile")
	private String name;

	@Override
	ChangeConfiguration change(String changeRequestId, long version) {
		return new ChangeConfiguration(changeRequestId, version, Map.of(), List.of(this.name), null, null);
	}

}
