package org.magnolialead.daemon;

import java.time.Duration;
import java.util.concurrent.Executor;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.transport.http.HttpHandler;
import org.magnolialead.transport.http.HttpServer;
import org.magnolialead.transport.http.HttpServerSettings;
import org.magnolialead.transport.peer.PeerHandler;
import org.magnolialead.transport.peer.PeerServer;

/**
 * Opens the listening sockets of a daemon. If binding fails, the error names the setting.
 */
final class Listeners {

	private Listeners() {
	}

	static PeerServer peer(DaemonSettings settings, PeerHandler handler, Executor executor) {
		try {
			return new PeerServer(settings.peer().host(), settings.peer().port(), handler, executor);
		}
		catch (Exception ex) {
			// Netty throws the checked BindException without declaring it.
			throw bindFailure(settings, "peer.port", settings.peer().port(), ex);
		}
	}

	static HttpServer http(DaemonSettings settings, HttpHandler handler, Executor executor) {
		DaemonSettings.HttpSettings http = settings.http();
		HttpServerSettings serverSettings = new HttpServerSettings(http.host(), http.port(), http.maximumBodyBytes(),
				http.maximumHeaderBytes(), Duration.ofMillis(http.receiveTimeoutMilliseconds()),
				Duration.ofMillis(http.idleTimeoutMilliseconds()), http.maximumConnections(),
				http.maximumTotalBodyBytes());
		try {
			return new HttpServer(serverSettings, handler, executor);
		}
		catch (Exception ex) {
			// Netty throws the checked BindException without declaring it.
			throw bindFailure(settings, "http.port", http.port(), ex);
		}
	}

	private static MagnolialeadException bindFailure(DaemonSettings settings, String key, int port, Exception cause) {
		Throwable root = cause;
		while (root.getCause() != null) {
			root = root.getCause();
		}
		return new MagnolialeadException(ErrorCode.INVALID_SETTINGS, Step.SETTINGS, "",
				"%s: key \"%s\": found %d, expected a free port on this VM (%s)".formatted(settings.file(), key, port,
						root.getMessage()),
				cause);
	}

}
