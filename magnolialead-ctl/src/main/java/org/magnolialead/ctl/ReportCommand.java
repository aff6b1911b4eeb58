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
 * Reports service-level burn from running daemons, saved snapshots or both.
 */
final class ReportCommand implements CtlCommand {

	@Option(name = "--entry", metaVar = "HOST:PORT,...", usage = "addresses at which the entry daemons serve callers")
	private String entry;

	@Option(name = "--saved", metaVar = "FILE", usage = "snapshots of an earlier report; may be repeated")
	private List<Path> saved = new ArrayList<>();

	@Option(name = "--save", metaVar = "FILE", usage = "file for the snapshots of this report")
	private Path save;

	@Option(name = "--html", metaVar = "FILE", usage = "file for the report as a page with plots")
	private Path html;

	@Option(name = "--objectives", metaVar = "FILE", usage = "TOML file with objectives of the ranks")
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
			throw CtlException.failure("no entry daemon answered and no snapshot is saved");
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
