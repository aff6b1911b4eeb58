package org.magnolialead.ctl;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.magnolialead.ctl.timeline.RequestTimeline;
import org.magnolialead.ctl.timeline.RequestTimeline.SavedLine;

/**
 * Prints the lines of saved logs that explain the outcome of one request.
 */
final class TimelineCommand implements CtlCommand {

	@Option(name = "--request", required = true, metaVar = "ID", usage = "identifier of the request")
	private String request;

	@Argument(required = true, multiValued = true, metaVar = "FILE", usage = "saved logs of the daemons")
	private List<Path> files;

	@Override
	public void run(CtlContext context) {
		List<SavedLine> lines = new ArrayList<>();
		for (Path file : this.files) {
			try {
				String name = String.valueOf(file.getFileName());
				Files.readAllLines(file, StandardCharsets.ISO_8859_1)
					.forEach((line) -> lines.add(new SavedLine(name, line)));
			}
			catch (IOException ex) {
				throw CtlException.failure("%s cannot be read: %s".formatted(file, ex));
			}
		}
		List<String> timeline = RequestTimeline.select(this.request, lines);
		if (timeline.isEmpty()) {
			throw CtlException.failure("no log line mentions request " + this.request
					+ "; its daemon may have crashed or dropped the line because of the log rate limit");
		}
		timeline.forEach(context.output()::println);
	}

}
