/**
 * Measures the owner's decisions against plain baselines in virtual time.
 */
package org.magnolialead.ctl.experiment;
