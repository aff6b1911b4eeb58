/**
 * Tests that run real processes and inject failures.
 */
package org.magnolialead.processtests;
