/**
 * Open-loop load generator with checks of the answers.
 */
package org.magnolialead.ctl.load;
