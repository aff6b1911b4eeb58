/**
 * Extracts from saved logs the events that explain the outcome of one request.
 */
package org.magnolialead.ctl.timeline;
