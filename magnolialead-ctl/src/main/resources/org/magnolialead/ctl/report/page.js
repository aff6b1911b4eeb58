"use strict";

const PLOT_WIDTH = 560;
const PLOT_HEIGHT = 200;
const HOUR_SECONDS = 3600;
const COLOURS = ["#1b6ca8", "#c0392b", "#27834a", "#8e44ad", "#b9770e", "#444444"];

function drawPlot(parent, plot) {
	const count = plot.series[0].values.length;
	const times = Array.from({ length: count }, (unused, index) => plot.startSeconds + index * plot.stepSeconds);
	const span = count * plot.stepSeconds > HOUR_SECONDS ? "last three days" : "last hour";
	const lines = plot.series.map((line, index) => ({
		label: line.label,
		stroke: COLOURS[index % COLOURS.length],
		width: 1.5,
		points: { show: true, size: 3 }
	}));
	const options = {
		title: plot.title + ", " + span,
		width: PLOT_WIDTH,
		height: PLOT_HEIGHT,
		scales: { y: { range: (chart, low, high) => [0, high > 0 ? high * 1.1 : 1] } },
		series: [{ label: "time" }, ...lines]
	};
	new uPlot(options, [times, ...plot.series.map((line) => line.values)], parent);
}

const root = document.getElementById("plots");
for (const section of JSON.parse(document.getElementById("data").textContent)) {
	const heading = document.createElement("h2");
	heading.textContent = section.title;
	const plots = document.createElement("div");
	plots.className = "plots";
	root.append(heading, plots);
	section.plots.forEach((plot) => drawPlot(plots, plot));
}
