package org.magnolialead.ctl.load;

import java.util.Map;

/**
 * HTTP request of the load generator.
 *
 * @param address address in the form {@code host:port}
 * @param path path of the request
 * @param headers headers by name
 * @param body JSON text in UTF-8
 * @param deadline time of the monotonic clock in nanoseconds after which the connection
 * is closed
 */
record LoadRequest(String address, String path, Map<String, String> headers, byte[] body, long deadline) {
}
