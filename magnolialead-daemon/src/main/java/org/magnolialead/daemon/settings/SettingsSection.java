package org.magnolialead.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;

/**
 * One table of a settings file. Records which keys were read so that unknown keys can be
 * rejected.
 */
final class SettingsSection {

	private final Path file;

	private final String name;

	private final JsonNode table;

	private final Set<String> knownKeys = new HashSet<>();

	SettingsSection(Path file, String name, JsonNode table) {
		this.file = file;
		this.name = name;
		this.table = table;
	}

	SettingsSection section(String key) {
		JsonNode node = node(key);
		if (node != null && !node.isObject()) {
			throw invalid(key, node.toString(), "a table");
		}
		return new SettingsSection(this.file, path(key), node);
	}

	String string(String key) {
		JsonNode node = required(key, "a string");
		return checkedString(key, node);
	}

	Optional<String> optionalString(String key) {
		JsonNode node = node(key);
		return (node != null) ? Optional.of(checkedString(key, node)) : Optional.empty();
	}

	<E extends Enum<E>> E enumValue(String key, Class<E> type) {
		String found = string(key);
		List<String> expected = new ArrayList<>();
		for (E constant : type.getEnumConstants()) {
			String value = constant.name().toLowerCase(Locale.ROOT);
			if (value.equals(found)) {
				return constant;
			}
			expected.add(value);
		}
		throw invalid(key, found, "one of " + expected);
	}

	int integer(String key, int minimum, int maximum) {
		JsonNode node = required(key, "an integer from %d to %d".formatted(minimum, maximum));
		return checkedInteger(key, node, minimum, maximum);
	}

	int integer(String key, int minimum, int maximum, int defaultValue) {
		JsonNode node = node(key);
		return (node != null) ? checkedInteger(key, node, minimum, maximum) : defaultValue;
	}

	double number(String key, double minimum, double maximum, double defaultValue) {
		JsonNode node = node(key);
		if (node == null) {
			return defaultValue;
		}
		if (!node.isNumber() || node.doubleValue() < minimum || node.doubleValue() > maximum) {
			throw invalid(key, node.toString(), "a number from %s to %s".formatted(minimum, maximum));
		}
		return node.doubleValue();
	}

	boolean booleanValue(String key, boolean defaultValue) {
		JsonNode node = node(key);
		if (node != null && !node.isBoolean()) {
			throw invalid(key, node.toString(), "true or false");
		}
		return (node != null) ? node.booleanValue() : defaultValue;
	}

	Map<String, String> stringsByKey() {
		Map<String, String> strings = new LinkedHashMap<>();
		if (this.table != null) {
			this.table.fieldNames().forEachRemaining((key) -> strings.put(key, string(key)));
		}
		return strings;
	}

	boolean isPresent() {
		return this.table != null;
	}

	void rejectUnknownKeys() {
		if (this.table == null) {
			return;
		}
		this.table.fieldNames().forEachRemaining((key) -> {
			if (!this.knownKeys.contains(key)) {
				throw invalid(key, this.table.get(key).toString(),
						"one of the keys " + this.knownKeys.stream().sorted().toList());
			}
		});
	}

	MagnolialeadException invalid(String key, String found, String expected) {
		return new MagnolialeadException(ErrorCode.INVALID_SETTINGS, Step.SETTINGS, "",
				"%s: key \"%s\": found %s, expected %s".formatted(this.file, path(key), found, expected));
	}

	private String checkedString(String key, JsonNode node) {
		if (!node.isTextual() || node.textValue().isBlank()) {
			throw invalid(key, node.toString(), "a non-empty string");
		}
		return node.textValue();
	}

	private int checkedInteger(String key, JsonNode node, int minimum, int maximum) {
		boolean valid = node.isIntegralNumber() && node.canConvertToInt() && node.intValue() >= minimum
				&& node.intValue() <= maximum;
		if (!valid) {
			throw invalid(key, node.toString(), "an integer from %d to %d".formatted(minimum, maximum));
		}
		return node.intValue();
	}

	private JsonNode required(String key, String expected) {
		JsonNode node = node(key);
		if (node == null) {
			throw invalid(key, "no value", expected);
		}
		return node;
	}

	private JsonNode node(String key) {
		this.knownKeys.add(key);
		return (this.table != null) ? this.table.get(key) : null;
	}

	private String path(String key) {
		return this.name.isEmpty() ? key : this.name + "." + key;
	}

}
