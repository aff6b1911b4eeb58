package org.magnolialead.ctl.report;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.magnolialead.ctl.CtlException;

/**
 * Report of the service levels and error budget burn rates of a fleet.
 */
public final class BurnReport {

	private final ServiceLevelCollection collection;

	private final ServiceLevelObjectives objectives;

	private final MergedServiceLevels levels;

	/**
	 * Computes a report.
	 * @param collection snapshots of at least one daemon
	 * @param objectives service level objectives of the ranks
	 */
	public BurnReport(ServiceLevelCollection collection, ServiceLevelObjectives objectives) {
		this.collection = collection;
		this.objectives = objectives;
		this.levels = new MergedServiceLevels(collection);
	}

	/**
	 * Returns the report as text.
	 * @return the text for a terminal
	 */
	public String text() {
		return new TextReport(this).render();
	}

	/**
	 * Writes the report as a self-contained HTML page.
	 * @param file the file to write
	 * @throws CtlException if the file cannot be written
	 */
	public void writePage(Path file) {
		new HtmlReport(this).write(file);
	}

	ServiceLevelCollection collection() {
		return this.collection;
	}

	MergedServiceLevels levels() {
		return this.levels;
	}

	double objective(ProfileTimeline timeline) {
		return this.objectives.objective(timeline.rank());
	}

	Map<BurnWindow, ServiceLevel> levelsByWindow(ProfileTimeline timeline) {
		Map<BurnWindow, ServiceLevel> byWindow = new EnumMap<>(BurnWindow.class);
		for (BurnWindow window : BurnWindow.values()) {
			byWindow.put(window, new ServiceLevel(timeline.sum(window), objective(timeline)));
		}
		return byWindow;
	}

	List<BurnThreshold> exceededThresholds(ProfileTimeline timeline) {
		Map<BurnWindow, ServiceLevel> byWindow = levelsByWindow(timeline);
		return Arrays.stream(BurnThreshold.values()).filter((threshold) -> threshold.isExceeded(byWindow)).toList();
	}

}
