/**
 * Replicated control state and the decisions of the control leader.
 */
package org.magnolialead.engine.control;
