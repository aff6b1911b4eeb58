package org.magnolialead.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Option;
import org.magnolialead.ctl.report.BurnReport;
import org.magnolialead.ctl.report.ServiceLevelCollection;
import org.magnolialead.ctl.report.ServiceLevelObjectives;
import org.magnolialead.ctl.report.SnapshotCollector;

/**
 * Reports service levels and error budget burn rates from running daemons, saved
 * snapshots or both.
 */
final class ReportCommand implements CtlCommand {

	@Option(name = "--entry", metaVar = "HOST:PORT,...", usage = "HTTP addresses of entry daemons")
	private String entry;

	@Option(name = "--saved", metaVar = "FILE", usage = "file with the snapshots of an earlier report; may be repeated")
	private List<Path> saved = new ArrayList<>();

	@Option(name = "--save", metaVar = "FILE", usage = "file for the snapshots of this report")
	private Path save;

	@Option(name = "--html", metaVar = "FILE", usage = "file for the report as an HTML page with plots")
	private Path html;

	@Option(name = "--objectives", metaVar = "FILE", usage = "TOML file with the service level objectives of the ranks")
	private Path objectivesFile;

	@Override
	public void run(CtlContext context) {
		if (this.entry == null && this.saved.isEmpty()) {
			throw CtlException.wrongArguments("--entry or --saved must be given");
		}
		ServiceLevelObjectives objectives = (this.objectivesFile != null)
				? ServiceLevelObjectives.read(this.objectivesFile) : ServiceLevelObjectives.defaults();
		ServiceLevelCollection collection = collect(context);
		if (collection.collected().isEmpty()) {
			throw CtlException.failure("no entry daemon responded and there is no saved snapshot");
		}
		if (this.save != null) {
			collection.save(this.save);
		}
		BurnReport report = new BurnReport(collection, objectives);
		context.output().print(report.text());
		if (this.html != null) {
			report.writePage(this.html);
		}
	}

	private ServiceLevelCollection collect(CtlContext context) {
		ServiceLevelCollection collection = new ServiceLevelCollection(List.of());
		for (Path file : this.saved) {
			collection = collection.plus(ServiceLevelCollection.read(file));
		}
		if (this.entry != null) {
			List<String> addresses = AbstractControlCommand.parseAddresses("--entry", this.entry);
			collection = collection.plus(new SnapshotCollector().collect(addresses, context.output()::println));
		}
		return collection;
	}

}
