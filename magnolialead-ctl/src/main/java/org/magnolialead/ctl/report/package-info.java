/**
 * Service-level burn report of {@code magnolialead-ctl report}.
 */
package org.magnolialead.ctl.report;
