/**
 * Commands of the replicated control log and their results.
 */
package org.magnolialead.api.command;
