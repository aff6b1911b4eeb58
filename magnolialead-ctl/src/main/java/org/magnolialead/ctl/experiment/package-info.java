/**
 * Simulations that compare the decisions of the owner with simple baselines in virtual
 * time.
 */
package org.magnolialead.ctl.experiment;
