package org.magnolialead.ctl.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.magnolialead.api.Rank;
import org.magnolialead.ctl.CtlException;

/**
 * Service level objectives: the target share of requests of each rank that are executed
 * and answered within their deadline.
 *
 * @param shares objective of every rank, above 0 and below 1
 */
public record ServiceLevelObjectives(Map<Rank, Double> shares) {

	/**
	 * Target of docs/design.md for urgent requests under ten times the ordinary load: a
	 * lost safety confirmation endangers a family, and a lost saw release leaves a
	 * production hall idle.
	 */
	static final double DEFAULT_URGENT = 0.99;

	/**
	 * Callers retry scheduling changes and reorders, but a coordinator waits for them.
	 * Three times the failures of urgent requests are tolerable.
	 */
	static final double DEFAULT_STANDARD = 0.97;

	/**
	 * Browsing requests are refused first under overload, and loading a refused page
	 * again costs little.
	 */
	static final double DEFAULT_BROWSING = 0.90;

	private static final String TABLE = "objectives";

	private static final String ALLOWED_SHARES = "a number above 0 and below 1";

	public ServiceLevelObjectives {
		shares = Map.copyOf(shares);
	}

	/**
	 * Returns the objectives that apply unless the operator configures others.
	 * @return the default objectives
	 */
	public static ServiceLevelObjectives defaults() {
		return new ServiceLevelObjectives(
				Map.of(Rank.URGENT, DEFAULT_URGENT, Rank.STANDARD, DEFAULT_STANDARD, Rank.BROWSING, DEFAULT_BROWSING));
	}

	/**
	 * Reads objectives from a TOML file with a table {@code [objectives]}. A rank without
	 * a key keeps its default.
	 * @param file the file
	 * @return the objectives
	 * @throws CtlException if the file is invalid, with a message that names the file,
	 * the key, the value found and what is allowed
	 */
	public static ServiceLevelObjectives read(Path file) {
		JsonNode root = parse(file);
		root.fieldNames().forEachRemaining((key) -> {
			if (!key.equals(TABLE)) {
				throw invalid(file, key, root.get(key).toString(), "only the table " + TABLE);
			}
		});
		JsonNode table = root.path(TABLE);
		if (!table.isObject()) {
			throw invalid(file, TABLE, table.isMissingNode() ? "nothing" : table.toString(),
					"a table with the keys " + keys());
		}
		Map<Rank, Double> shares = new EnumMap<>(defaults().shares());
		table.properties()
			.forEach((entry) -> shares.put(rank(file, entry.getKey(), entry.getValue()),
					share(file, entry.getKey(), entry.getValue())));
		return new ServiceLevelObjectives(shares);
	}

	double objective(Rank rank) {
		return this.shares.get(rank);
	}

	private static JsonNode parse(Path file) {
		try {
			return new TomlMapper().readTree(Files.readString(file));
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			throw CtlException
				.wrongArguments("%s: line %d is not valid TOML: %s".formatted(file, line, ex.getOriginalMessage()));
		}
		catch (IOException ex) {
			throw CtlException.wrongArguments("%s: the file cannot be read: %s".formatted(file, ex));
		}
	}

	private static Rank rank(Path file, String key, JsonNode value) {
		return Arrays.stream(Rank.values())
			.filter((rank) -> key(rank).equals(key))
			.findAny()
			.orElseThrow(() -> invalid(file, TABLE + "." + key, value.toString(), "one of the keys " + keys()));
	}

	private static double share(Path file, String key, JsonNode value) {
		boolean valid = value.isNumber() && value.doubleValue() > 0 && value.doubleValue() < 1;
		if (!valid) {
			throw invalid(file, TABLE + "." + key, value.toString(), ALLOWED_SHARES);
		}
		return value.doubleValue();
	}

	private static String keys() {
		return Arrays.stream(Rank.values()).map(ServiceLevelObjectives::key).toList().toString();
	}

	private static String key(Rank rank) {
		return rank.name().toLowerCase(Locale.ROOT);
	}

	private static CtlException invalid(Path file, String key, String found, String allowed) {
		return CtlException
			.wrongArguments("%s: key \"%s\": found %s, allowed is %s".formatted(file, key, found, allowed));
	}

}
