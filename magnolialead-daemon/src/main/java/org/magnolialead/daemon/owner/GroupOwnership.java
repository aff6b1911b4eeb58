package org.magnolialead.daemon.owner;

import java.util.List;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.message.OwnedGroupReport;

/**
 * Ownership of groups by this daemon, which follows the fleet view.
 */
public interface GroupOwnership {

	/**
	 * Applies a new fleet view. After this method returns, no group is acted on whose
	 * ownership the view has ended.
	 * @param view the new view
	 */
	void viewChanged(FleetView view);

	/**
	 * Returns the reports for the next heartbeat.
	 * @return one report for each owned group
	 */
	List<OwnedGroupReport> reports();

}
