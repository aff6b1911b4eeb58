package org.magnolialead.api.servicelevel;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Request counts of one profile and rank in one time slot. Requests that failed because
 * of an error of the caller are not counted. The JSON form is an array in the order of
 * the parameters, which keeps the size of three days of slots small.
 *
 * @param slot number of the slot
 * @param done requests with outcome DONE
 * @param notRun requests with outcome NOT_RUN
 * @param unknown requests with outcome UNKNOWN
 * @param withinDeadline requests with outcome DONE that were answered before their
 * deadline
 * @param reads single reads with outcome DONE
 * @param replicaReads single reads with outcome DONE that a replica served
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({ "slot", "done", "notRun", "unknown", "withinDeadline", "reads", "replicaReads" })
public record RequestSlot(long slot, long done, long notRun, long unknown, long withinDeadline, long reads,
		long replicaReads) {

	public RequestSlot {
		boolean negative = done < 0 || notRun < 0 || unknown < 0 || withinDeadline < 0 || replicaReads < 0;
		if (negative || withinDeadline > done || reads > done || replicaReads > reads) {
			throw new IllegalArgumentException("slot %d has inconsistent counts".formatted(slot));
		}
	}

	/**
	 * Returns the total number of requests.
	 * @return the number of requests of all outcomes
	 */
	@JsonIgnore
	public long requests() {
		return this.done + this.notRun + this.unknown;
	}

	/**
	 * Adds the counts of another daemon or slot.
	 * @param other the counts to add
	 * @return the sum with the number of this slot
	 */
	public RequestSlot plus(RequestSlot other) {
		return new RequestSlot(this.slot, this.done + other.done, this.notRun + other.notRun,
				this.unknown + other.unknown, this.withinDeadline + other.withinDeadline, this.reads + other.reads,
				this.replicaReads + other.replicaReads);
	}

}
