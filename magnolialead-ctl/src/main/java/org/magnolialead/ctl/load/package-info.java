/**
 * Open-loop load generator that checks the consistency of the responses.
 */
package org.magnolialead.ctl.load;
