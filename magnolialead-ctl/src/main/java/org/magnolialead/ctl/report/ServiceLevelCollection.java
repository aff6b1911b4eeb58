package org.magnolialead.ctl.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;
import org.magnolialead.ctl.CtlException;

/**
 * Service level snapshots of the daemons of a fleet; also the JSON format of saved
 * snapshots.
 *
 * @param collected at most one snapshot of each daemon process
 */
public record ServiceLevelCollection(List<CollectedSnapshot> collected) {

	/** Ignores unknown properties, so that it can read responses of newer daemons. */
	static final ObjectMapper JSON = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.build();

	/**
	 * Keeps only the latest snapshot of each daemon process, because it includes the
	 * earlier ones and adding them would count requests twice.
	 * @param collected the snapshots
	 */
	public ServiceLevelCollection {
		Map<List<String>, CollectedSnapshot> latest = new LinkedHashMap<>();
		for (CollectedSnapshot candidate : collected) {
			ServiceLevelSnapshot snapshot = candidate.snapshot();
			latest.merge(List.of(snapshot.daemon(), snapshot.incarnation()), candidate, (first,
					second) -> (second.collectedAtMilliseconds() > first.collectedAtMilliseconds()) ? second : first);
		}
		collected = List.copyOf(latest.values());
	}

	/**
	 * Returns a collection with the snapshots of another one.
	 * @param other the other collection
	 * @return the union
	 */
	public ServiceLevelCollection plus(ServiceLevelCollection other) {
		List<CollectedSnapshot> all = new ArrayList<>(this.collected);
		all.addAll(other.collected);
		return new ServiceLevelCollection(all);
	}

	/**
	 * Reads a saved collection.
	 * @param file the file
	 * @return the collection
	 * @throws CtlException if the file cannot be read or is not a saved collection
	 */
	public static ServiceLevelCollection read(Path file) {
		try {
			return JSON.readValue(Files.readAllBytes(file), ServiceLevelCollection.class);
		}
		catch (IOException ex) {
			throw CtlException.failure("%s is not a saved collection of service levels: %s".formatted(file, ex));
		}
	}

	/**
	 * Saves this collection.
	 * @param file the file to write
	 * @throws CtlException if the file cannot be written
	 */
	public void save(Path file) {
		try {
			Files.write(file, JSON.writeValueAsBytes(this));
		}
		catch (IOException ex) {
			throw CtlException.failure("cannot write %s: %s".formatted(file, ex));
		}
	}

}
