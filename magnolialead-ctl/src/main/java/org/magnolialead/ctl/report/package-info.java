/**
 * Service level and burn rate report of {@code magnolialead-ctl report}.
 */
package org.magnolialead.ctl.report;
