package org.magnolialead.ctl.report;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

import javax.xml.parsers.DocumentBuilderFactory;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnolialead.api.Rank;
import org.magnolialead.api.servicelevel.GroupSeries;
import org.magnolialead.api.servicelevel.ProfileSeries;
import org.magnolialead.api.servicelevel.RequestSlot;
import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;
import org.magnolialead.api.servicelevel.SlotResolution;
import org.magnolialead.api.servicelevel.WriteSlot;
import org.magnolialead.ctl.MagnolialeadCtl;
import org.w3c.dom.Document;
import org.w3c.dom.Element;
import org.w3c.dom.NamedNodeMap;
import org.w3c.dom.NodeList;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

/**
 * Merging of the snapshots of several daemons, burn rates, and the text and HTML forms of
 * the report.
 */
class BurnReportTests {

	/** Start of a slot in both resolutions. */
	private static final long NOW = 1_700_000_100_000L;

	private static final long LAST_SLOT = NOW / 10_000;

	private static final String UNTRUSTED_NAME = "</script><img src='https://example.invalid/x'>]]>&\u001b@DATA@";

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@TempDir
	private Path folder;

	/**
	 * Guards against windows that are one slot too long or too short, and against wrong
	 * burn rates.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 6, 30, 180, 360 })
	void failuresCountExactlyInTheWindowsThatContainTheirSlot(int slots) {
		RequestSlot served = new RequestSlot(LAST_SLOT, 90, 0, 0, 90, 0, 0);
		RequestSlot inside = new RequestSlot(LAST_SLOT - slots + 1, 0, 10, 0, 0, 0, 0);
		RequestSlot outside = new RequestSlot(LAST_SLOT - slots, 0, 10, 0, 0, 0, 0);
		BurnReport report = report(snapshot("d1", 0, List.of(outside, inside, served), List.of()));
		Map<BurnWindow, ServiceLevel> levels = levelsByWindow(report);
		for (BurnWindow window : BurnWindow.values()) {
			if (window.resolution() == SlotResolution.TEN_SECONDS) {
				long missed = ((window.slots() >= slots) ? 10 : 0) + ((window.slots() > slots) ? 10 : 0);
				assertThat(levels.get(window).burnRate()).as(window.label())
					.isCloseTo(missed / (90.0 + missed) / 0.03, within(1e-9));
			}
		}
		assertThat(levels.get(BurnWindow.SIX_HOURS).burnRate()).isNaN();
	}

	/**
	 * Guards against alerts for failures that are over or have just begun, and against
	 * missing alerts.
	 */
	@Test
	void thresholdIsReportedOnlyIfBothWindowsExceedIt() {
		RequestSlot failed = new RequestSlot(LAST_SLOT, 0, 100, 0, 0, 0, 0);
		RequestSlot served = new RequestSlot(LAST_SLOT - 31, 900, 0, 0, 900, 0, 0);
		RequestSlot earlier = new RequestSlot(LAST_SLOT - 31, 0, 100, 0, 0, 0, 0);
		RequestSlot servedNow = new RequestSlot(LAST_SLOT, 100, 0, 0, 100, 0, 0);
		assertThat(reportText(List.of(failed))).contains("!! FAST BURN");
		assertThat(reportText(List.of(served, failed))).doesNotContain("FAST BURN");
		assertThat(reportText(List.of(earlier, servedNow))).doesNotContain("FAST BURN");
	}

	/**
	 * Guards against requests of a daemon with a different clock that are counted in the
	 * wrong window, discarded as future requests, or counted twice when their snapshot is
	 * collected again.
	 */
	@ParameterizedTest
	@ValueSource(longs = { -10_000, -4_000, 0, 4_000, 10_000 })
	void clocksThatDifferByUpToASlotAreMerged(long ahead) {
		CollectedSnapshot first = snapshot("d1", 0, List.of(new RequestSlot(LAST_SLOT, 1, 0, 0, 1, 0, 0)), List.of());
		long lastSlotOfDaemon = Math.floorDiv(NOW + ahead, 10_000);
		List<RequestSlot> slots = LongStream.rangeClosed(lastSlotOfDaemon - 359, lastSlotOfDaemon)
			.mapToObj((slot) -> new RequestSlot(slot, 1, 0, 0, 1, 0, 0))
			.toList();
		CollectedSnapshot second = snapshot("d2", ahead, slots, List.of());
		Map<BurnWindow, ServiceLevel> levels = levelsByWindow(report(first, second, second));
		long difference = Math.abs(levels.get(BurnWindow.ONE_MINUTE).counts().requests() - 7);
		assertThat(difference).isLessThanOrEqualTo((ahead % 10_000 == 0) ? 0 : 1);
		assertThat(levels.get(BurnWindow.ONE_HOUR).counts().requests()).isBetween(360L, 361L);
	}

	/**
	 * Guards against a failover gap that is missed because the slots of the daemons
	 * differ, and against a reported gap that only one daemon with few writes observed.
	 */
	@Test
	void writeGapIsTheOneThatAllDaemonsSaw() {
		List<WriteSlot> busy = gaps(LAST_SLOT, 30, LAST_SLOT - 10, 4_000);
		List<WriteSlot> oneSlotLater = gaps(LAST_SLOT, 30, LAST_SLOT - 9, 4_200);
		List<WriteSlot> idle = gaps(LAST_SLOT, 90_000, LAST_SLOT, 90_000);
		BurnReport report = report(snapshot("d1", 0, List.of(), busy), snapshot("d2", 0, List.of(), oneSlotLater),
				snapshot("d3", 0, List.of(), idle));
		GroupTimeline timeline = report.levels().groups().iterator().next();
		assertThat(timeline.longestGapMilliseconds(BurnWindow.FIVE_MINUTES)).isEqualTo(4_000);
		assertThat(timeline.longestGapMilliseconds(BurnWindow.ONE_MINUTE)).isEqualTo(30);
	}

	/**
	 * Guards against saved snapshots that lose data or produce a different report, and
	 * against a report that fails because one daemon is down.
	 */
	@Test
	void savedDataGivesTheSameReportAsLiveData() throws IOException {
		ServiceLevelSnapshot live = snapshotWithUntrustedNames().snapshot();
		HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
		byte[] body = ServiceLevelCollection.JSON.writeValueAsBytes(live);
		server.createContext("/metrics/service-levels", (exchange) -> {
			exchange.sendResponseHeaders(200, body.length);
			exchange.getResponseBody().write(body);
			exchange.close();
		});
		server.start();
		String address = "127.0.0.1:" + server.getAddress().getPort();
		String saved = this.folder.resolve("saved.json").toString();
		String page = this.folder.resolve("live.html").toString();
		String savedPage = this.folder.resolve("saved.html").toString();
		assertThat(run("report", "--entry", address, "--save", saved, "--html", page)).isZero();
		server.stop(0);
		String liveText = this.output.toString(StandardCharsets.UTF_8);
		this.output.reset();
		assertThat(run("report", "--saved", saved, "--html", savedPage)).isZero();
		assertThat(liveText).contains("rank STANDARD", "replica reads", "database group")
			.isEqualTo(this.output.toString(StandardCharsets.UTF_8));
		assertThat(Path.of(page)).hasSameTextualContentAs(Path.of(savedPage));
		assertThat(ServiceLevelCollection.read(Path.of(saved)).collected().get(0).snapshot()).isEqualTo(live);
		this.output.reset();
		assertThat(run("report", "--entry", address, "--saved", saved)).isZero();
		assertThat(this.output.toString(StandardCharsets.UTF_8)).contains("daemon " + address + ": no service levels")
			.endsWith(liveText);
		assertThat(run("report", "--entry", address)).isEqualTo(1);
	}

	/**
	 * Guards against a page that loads external resources, is malformed, or lets names in
	 * the data inject markup or scripts.
	 */
	@Test
	void pageIsSelfContainedAndWellFormed() throws Exception {
		Path page = this.folder.resolve("page.html");
		report(snapshotWithUntrustedNames()).writePage(page);
		String text = Files.readString(page);
		assertThat(text).contains("uPlot=function", "Permission is hereby granted").doesNotContain("\u001b");
		Document document = DocumentBuilderFactory.newInstance()
			.newDocumentBuilder()
			.parse(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
		NodeList elements = document.getElementsByTagName("*");
		for (int index = 0; index < elements.getLength(); index++) {
			Element element = (Element) elements.item(index);
			assertThat(element.getTagName()).isNotIn("img", "link", "iframe", "object", "embed", "base", "a");
			NamedNodeMap attributes = element.getAttributes();
			for (int attribute = 0; attribute < attributes.getLength(); attribute++) {
				assertThat(attributes.item(attribute).getNodeName()).isNotIn("src", "href", "style");
				assertThat(attributes.item(attribute).getNodeValue()).doesNotContain("//");
			}
		}
		assertThat(document.getElementsByTagName("style").item(0).getTextContent()).doesNotContain("url(", "@import");
		assertThat(document.getElementsByTagName("meta").item(1).getAttributes().getNamedItem("content").getNodeValue())
			.contains("default-src 'none'");
		assertThat(document.getElementsByTagName("pre").item(0).getTextContent())
			.contains(UNTRUSTED_NAME.replace('\u001b', '?'));
		NodeList scripts = document.getElementsByTagName("script");
		String data = scripts.item(0).getTextContent();
		assertThat(ServiceLevelCollection.JSON.readTree(data).get(0).get("title").textValue())
			.contains(UNTRUSTED_NAME.replace('\u001b', '?'));
		String code = scripts.item(1).getTextContent() + scripts.item(2).getTextContent();
		assertThat(code.replace("/*! https://github.com/leeoniya/uPlot", "")).doesNotContain("http://", "https://",
				"fetch(", "XMLHttpRequest", "import(", "WebSocket", "sendBeacon");
	}

	/**
	 * Guards against accepted objectives for which burn rates are meaningless, and
	 * against error messages that do not state what to correct.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "urgent = 1.0", "urgent = 0", "urgent = nan", "urgent = \"0.99\"", "rush = 0.9" })
	void invalidObjectivesAreRejected(String line) throws IOException {
		Path file = this.folder.resolve("objectives.toml");
		Files.writeString(file, "[objectives]\nstandard = 0.95\n" + line + "\n");
		String key = line.substring(0, line.indexOf(' '));
		assertThatThrownBy(() -> ServiceLevelObjectives.read(file)).hasMessageContaining(file.toString())
			.hasMessageContaining("key \"objectives." + key + "\"")
			.hasMessageContaining("found ")
			.hasMessageContaining("allowed is ");
		Files.writeString(file, "[objectives]\nstandard = 0.95\n");
		assertThat(ServiceLevelObjectives.read(file).objective(Rank.STANDARD)).isEqualTo(0.95);
		assertThat(ServiceLevelObjectives.read(file).objective(Rank.URGENT))
			.isEqualTo(ServiceLevelObjectives.DEFAULT_URGENT);
	}

	private static CollectedSnapshot snapshotWithUntrustedNames() {
		List<RequestSlot> slots = LongStream.rangeClosed(LAST_SLOT - 300, LAST_SLOT)
			.mapToObj((slot) -> new RequestSlot(slot, 90, slot % 7, slot % 3, 88, 60, slot % 60))
			.toList();
		return snapshot(UNTRUSTED_NAME, 0, slots, gaps(LAST_SLOT, 30, LAST_SLOT - 10, 4_000));
	}

	private static List<WriteSlot> gaps(long last, long usual, long exceptionalSlot, long exceptional) {
		return LongStream.rangeClosed(last - 359, last)
			.mapToObj((slot) -> new WriteSlot(slot, (slot == exceptionalSlot) ? exceptional : usual, 5, 0))
			.toList();
	}

	private static CollectedSnapshot snapshot(String name, long ahead, List<RequestSlot> requests,
			List<WriteSlot> writes) {
		ProfileSeries profile = new ProfileSeries(UNTRUSTED_NAME, Rank.STANDARD, requests, List.of());
		GroupSeries group = new GroupSeries(UNTRUSTED_NAME, writes, List.of());
		return new CollectedSnapshot("127.0.0.1:1", NOW,
				new ServiceLevelSnapshot(name, "i1", NOW + ahead, List.of(profile), List.of(group), 0));
	}

	private static BurnReport report(CollectedSnapshot... snapshots) {
		return new BurnReport(new ServiceLevelCollection(new ArrayList<>(List.of(snapshots))),
				ServiceLevelObjectives.defaults());
	}

	private static Map<BurnWindow, ServiceLevel> levelsByWindow(BurnReport report) {
		return report.levelsByWindow(report.levels().profiles().get(0));
	}

	private static String reportText(List<RequestSlot> requests) {
		return report(snapshot("d1", 0, requests, List.of())).text();
	}

	private int run(String... arguments) {
		return new MagnolialeadCtl((address) -> null, new PrintStream(this.output, true, StandardCharsets.UTF_8),
				new PrintStream(this.errors, true, StandardCharsets.UTF_8))
			.run(arguments);
	}

}
