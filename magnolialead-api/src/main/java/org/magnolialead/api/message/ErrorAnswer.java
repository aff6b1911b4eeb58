package org.magnolialead.api.message;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.Step;

/**
 * Answer to a peer request that could not be handled.
 *
 * @param error the error code
 * @param step the step at which the error occurred
 * @param message description of the error
 */
public record ErrorAnswer(ErrorCode error, Step step, String message) {
}
