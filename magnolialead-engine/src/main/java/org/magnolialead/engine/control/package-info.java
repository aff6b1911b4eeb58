/**
 * Replicated state machine of the control daemons, with the leases and the placement of
 * groups by the control leader.
 */
package org.magnolialead.engine.control;
