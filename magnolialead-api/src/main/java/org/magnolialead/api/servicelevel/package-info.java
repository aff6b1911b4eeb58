/**
 * Service-level records that entry daemons serve and reports read.
 */
package org.magnolialead.api.servicelevel;
