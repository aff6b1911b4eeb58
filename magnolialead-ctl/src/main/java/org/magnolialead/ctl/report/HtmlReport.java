package org.magnolialead.ctl.report;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Properties;
import java.util.function.IntToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnolialead.api.servicelevel.SlotResolution;
import org.magnolialead.api.servicelevel.WriteSlot;
import org.magnolialead.ctl.CtlException;

/**
 * HTML form of a report. The page embeds the plotting library, its licence and the data,
 * is well-formed XML, and has a content security policy that forbids the browser to load
 * anything.
 */
final class HtmlReport {

	private static final String LIBRARY_PROPERTIES = "/META-INF/maven/org.webjars.npm/uplot/pom.properties";

	private static final Pattern PLACEHOLDER = Pattern.compile("@([A-Z_]+)@");

	private static final double PERCENT = 100;

	private static final long MILLISECONDS_PER_SECOND = 1_000;

	private final BurnReport report;

	HtmlReport(BurnReport report) {
		this.report = report;
	}

	void write(Path file) {
		try {
			Files.writeString(file, render());
		}
		catch (IOException ex) {
			throw CtlException.failure("cannot write %s: %s".formatted(file, ex));
		}
	}

	String render() {
		String library = "/META-INF/resources/webjars/uplot/%s/".formatted(libraryVersion());
		Map<String, String> parts = Map.of("LIBRARY_STYLE", resource(library + "dist/uPlot.min.css"), "STYLE",
				resource("page.css"), "LICENCE", resource(library + "LICENSE"), "LIBRARY",
				resource(library + "dist/uPlot.iife.min.js"), "SCRIPT", resource("page.js"), "TEXT",
				PrintableText.escapeHtml(this.report.text()), "DATA", data());
		// A single pass leaves names in the data that look like a placeholder unchanged.
		return PLACEHOLDER.matcher(resource("page.html"))
			.replaceAll((match) -> Matcher.quoteReplacement(parts.get(match.group(1))));
	}

	/**
	 * Returns the plots as JSON in which all characters that could end the enclosing
	 * element are escaped.
	 * @return the escaped JSON
	 */
	private String data() {
		ArrayNode sections = ServiceLevelCollection.JSON.createArrayNode();
		for (ProfileTimeline timeline : this.report.levels().profiles()) {
			ArrayNode plots = addSection(sections,
					"profile %s, rank %s".formatted(PrintableText.sanitize(timeline.profile()), timeline.rank()));
			for (SlotResolution resolution : SlotResolution.values()) {
				addProfilePlots(plots, timeline, resolution);
			}
		}
		for (GroupTimeline timeline : this.report.levels().groups()) {
			ArrayNode plots = addSection(sections, "database group " + PrintableText.sanitize(timeline.group()));
			for (SlotResolution resolution : SlotResolution.values()) {
				ArrayNode series = addPlot(plots, "longest write gap in ms", resolution);
				addLine(series, "gap", resolution, (index) -> gap(timeline, resolution, index));
			}
		}
		try {
			return ServiceLevelCollection.JSON.writeValueAsString(sections)
				.replace("&", "\\u0026")
				.replace("<", "\\u003c")
				.replace(">", "\\u003e");
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode the plot data as JSON", ex);
		}
	}

	private void addProfilePlots(ArrayNode plots, ProfileTimeline timeline, SlotResolution resolution) {
		addLine(addPlot(plots, "service within deadline in %", resolution), "within deadline", resolution,
				(index) -> level(timeline, resolution, index, 1).withinDeadline() * PERCENT);
		ArrayNode burnRate = addPlot(plots, "burn", resolution);
		for (BurnWindow window : BurnWindow.values()) {
			int slots = window.slotsOf(resolution);
			if (slots > 0) {
				addLine(burnRate, window.label(), resolution,
						(index) -> level(timeline, resolution, index, slots).burnRate());
			}
		}
		addLine(addPlot(plots, "reads served by replicas in %", resolution), "replica reads", resolution,
				(index) -> level(timeline, resolution, index, 1).replicaShare() * PERCENT);
	}

	private ServiceLevel level(ProfileTimeline timeline, SlotResolution resolution, int index, int slots) {
		return new ServiceLevel(timeline.sum(resolution, index + 1, slots), this.report.objective(timeline));
	}

	private static double gap(GroupTimeline timeline, SlotResolution resolution, int index) {
		long gap = timeline.gapMilliseconds(resolution, index);
		return (gap != WriteSlot.NO_GAP_KNOWN) ? gap : Double.NaN;
	}

	private static ArrayNode addSection(ArrayNode sections, String title) {
		ObjectNode section = sections.addObject();
		section.put("title", title);
		return section.putArray("plots");
	}

	private ArrayNode addPlot(ArrayNode plots, String title, SlotResolution resolution) {
		ObjectNode plot = plots.addObject();
		plot.put("title", title);
		long first = this.report.levels().lastSlot(resolution) - resolution.retainedSlots() + 1;
		plot.put("startSeconds", first * resolution.milliseconds() / MILLISECONDS_PER_SECOND);
		plot.put("stepSeconds", resolution.milliseconds() / MILLISECONDS_PER_SECOND);
		return plot.putArray("series");
	}

	private static void addLine(ArrayNode series, String label, SlotResolution resolution,
			IntToDoubleFunction valueAt) {
		ObjectNode line = series.addObject();
		line.put("label", label);
		ArrayNode values = line.putArray("values");
		for (int index = 0; index < resolution.retainedSlots(); index++) {
			double value = valueAt.applyAsDouble(index);
			if (Double.isNaN(value)) {
				values.addNull();
			}
			else {
				values.add(Math.round(value * PERCENT) / PERCENT);
			}
		}
	}

	/**
	 * Returns the version of the plotting library on the class path, which is part of its
	 * resource names.
	 * @return the version
	 */
	private static String libraryVersion() {
		Properties properties = new Properties();
		try {
			properties.load(new StringReader(resource(LIBRARY_PROPERTIES)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return properties.getProperty("version");
	}

	private static String resource(String name) {
		try (InputStream stream = HtmlReport.class.getResourceAsStream(name)) {
			if (stream == null) {
				throw new IllegalStateException("missing class path resource " + name);
			}
			return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
