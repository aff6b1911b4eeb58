/**
 * Tests that run real processes and inject faults.
 */
package org.magnolialead.processtests;
