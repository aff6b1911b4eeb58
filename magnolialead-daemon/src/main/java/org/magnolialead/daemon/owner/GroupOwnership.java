package org.magnolialead.daemon.owner;

import java.util.List;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.message.OwnedGroupReport;

/**
 * Follows the fleet view for the groups that this daemon owns.
 */
public interface GroupOwnership {

	/**
	 * Applies a new fleet view. Ownership that has ended acts no more once this method
	 * returns.
	 * @param view the new view
	 */
	void viewChanged(FleetView view);

	/**
	 * Returns what the next heartbeat reports.
	 * @return one report for each owned group
	 */
	List<OwnedGroupReport> reports();

}
