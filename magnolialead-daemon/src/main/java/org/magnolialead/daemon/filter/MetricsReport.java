package org.magnolialead.daemon.filter;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;

/**
 * Writes metric registries and service levels as JSON. Times of timers are in
 * milliseconds.
 */
public final class MetricsReport {

	private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private MetricsReport() {
	}

	/**
	 * Writes all metrics of a registry.
	 * @param registry the registry
	 * @return the metrics as JSON in UTF-8
	 */
	public static byte[] write(MetricRegistry registry) {
		ObjectNode report = MAPPER.createObjectNode();
		ObjectNode gauges = report.putObject("gauges");
		registry.getGauges().forEach((name, gauge) -> gauges.set(name, gauge(gauge)));
		ObjectNode counters = report.putObject("counters");
		for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
			counters.put(counter.getKey(), counter.getValue().getCount());
		}
		ObjectNode meters = report.putObject("meters");
		registry.getMeters().forEach((name, meter) -> meter(meters.putObject(name), meter));
		ObjectNode histograms = report.putObject("histograms");
		registry.getHistograms().forEach((name, histogram) -> histogram(histograms.putObject(name), histogram));
		ObjectNode timers = report.putObject("timers");
		registry.getTimers().forEach((name, timer) -> timer(timers.putObject(name), timer));
		return encode(report);
	}

	static byte[] write(ServiceLevelSnapshot snapshot) {
		return encode(snapshot);
	}

	private static byte[] encode(Object report) {
		try {
			return MAPPER.writeValueAsBytes(report);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("trees and records are always encodable", ex);
		}
	}

	private static ObjectNode gauge(Gauge<?> gauge) {
		ObjectNode node = MAPPER.createObjectNode();
		node.set("value", MAPPER.valueToTree(gauge.getValue()));
		return node;
	}

	private static void meter(ObjectNode node, Meter meter) {
		node.put("count", meter.getCount());
		node.put("oneMinuteRate", meter.getOneMinuteRate());
	}

	private static void histogram(ObjectNode node, Histogram histogram) {
		node.put("count", histogram.getCount());
		snapshot(node, histogram.getSnapshot(), 1.0);
	}

	private static void timer(ObjectNode node, Timer timer) {
		node.put("count", timer.getCount());
		node.put("oneMinuteRate", timer.getOneMinuteRate());
		snapshot(node, timer.getSnapshot(), NANOSECONDS_PER_MILLISECOND);
	}

	private static void snapshot(ObjectNode node, Snapshot snapshot, double unit) {
		node.put("p50", snapshot.getMedian() / unit);
		node.put("p95", snapshot.get95thPercentile() / unit);
		node.put("p99", snapshot.get99thPercentile() / unit);
		node.put("p999", snapshot.get999thPercentile() / unit);
		node.put("maximum", snapshot.getMax() / unit);
	}

}
