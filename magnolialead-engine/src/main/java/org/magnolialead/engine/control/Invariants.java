package org.magnolialead.engine.control;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;

/**
 * Checks invariants that hold across commands. A violation is a defect in this program;
 * continuing after it could let two owners act on one group.
 */
final class Invariants {

	private Invariants() {
	}

	static void check(ControlState before, ControlState after) {
		require(after.viewVersion() >= before.viewVersion(), "view version must not decrease", before.viewVersion(),
				after.viewVersion());
		require(after.configuration().version() >= before.configuration().version(),
				"configuration version must not decrease", before.configuration().version(),
				after.configuration().version());
		require(after.ledger().time() >= before.ledger().time(), "ledger time must not decrease",
				before.ledger().time(), after.ledger().time());
	}

	static void check(GroupView before, GroupView after) {
		if (before == null) {
			return;
		}
		require(after.term() >= before.term(), "term must not decrease", before.term(), after.term());
		require(after.reservedTerm() >= before.reservedTerm(), "reserved term must not decrease", before.reservedTerm(),
				after.reservedTerm());
		require(after.ownerEpoch() >= before.ownerEpoch(), "owner epoch must not decrease", before.ownerEpoch(),
				after.ownerEpoch());
		boolean newOwner = !after.owner().isEmpty() && !after.owner().equals(before.owner());
		require(!newOwner || after.ownerEpoch() > before.ownerEpoch(), "a new owner must have a new epoch",
				before.ownerEpoch(), after.ownerEpoch());
		boolean sameTermOtherPrimary = after.term() == before.term() && !after.primary().equals(before.primary());
		require(!sameTermOtherPrimary, "a term must have one primary", before.term(), after.term());
	}

	private static void require(boolean condition, String rule, long before, long after) {
		if (!condition) {
			throw new MagnolialeadException(ErrorCode.INVARIANT_VIOLATED, Step.CONTROL, "",
					"%s: %d before, %d after".formatted(rule, before, after));
		}
	}

}
