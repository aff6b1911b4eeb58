package org.magnolialead.ctl;

import java.util.Arrays;
import java.util.List;

import org.kohsuke.args4j.Option;

/**
 * Base class of commands that communicate with control daemons.
 */
abstract class AbstractControlCommand implements CtlCommand {

	@Option(name = "--control", required = true, metaVar = "HOST:PORT,...",
			usage = "peer addresses of the control daemons")
	private String control;

	List<String> addresses() {
		return parseAddresses("--control", this.control);
	}

	ControlClient client(CtlContext context) {
		return new ControlClient(context.connections(), addresses());
	}

	static List<String> parseAddresses(String option, String text) {
		List<String> addresses = Arrays.stream(text.split(",")).map(String::strip).toList();
		for (String address : addresses) {
			if (!address.matches("[^:\\s]+:[0-9]{1,5}")) {
				throw CtlException.wrongArguments(
						"%s must list addresses of the form host:port, found \"%s\"".formatted(option, address));
			}
		}
		return addresses;
	}

}
