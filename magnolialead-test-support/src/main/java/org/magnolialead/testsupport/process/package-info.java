/**
 * Child processes for tests and the demo.
 */
package org.magnolialead.testsupport.process;
