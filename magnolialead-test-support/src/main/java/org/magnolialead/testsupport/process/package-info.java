/**
 * Management of child processes for tests and the demo.
 */
package org.magnolialead.testsupport.process;
