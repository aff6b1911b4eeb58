/**
 * Decisions about rate limits of client accounts that all daemons keep together.
 */
package org.magnolialead.engine.quota;
