package org.magnolialead.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Prints the configuration of the leader as JSON.
 */
final class ConfigShowCommand extends AbstractControlCommand {

	private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

	@Override
	public void run(CtlContext context) {
		try {
			context.output().println(JSON.writeValueAsString(client(context).leaderView().view().configuration()));
		}
		catch (JsonProcessingException ex) {
			throw CtlException.failure("cannot encode the configuration: " + ex.getOriginalMessage());
		}
	}

}
