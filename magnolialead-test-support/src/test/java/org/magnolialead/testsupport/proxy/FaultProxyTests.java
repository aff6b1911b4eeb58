package org.magnolialead.testsupport.proxy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a proxy that applies a fault to the wrong direction or corrupts a
 * stream.
 */
class FaultProxyTests {

	private static final int SILENCE_MILLISECONDS = 200;

	private final FaultProxy proxy = new FaultProxy();

	private ServerSocket target;

	private int port;

	private Socket client;

	private Socket server;

	@BeforeEach
	void connect() throws IOException {
		InetAddress loopback = InetAddress.getLoopbackAddress();
		this.target = new ServerSocket(0, 10, loopback);
		this.port = this.proxy.addRoute("r", new InetSocketAddress(loopback, 0),
				new InetSocketAddress(loopback, this.target.getLocalPort()));
		this.client = new Socket(loopback, this.port);
		this.server = this.target.accept();
	}

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.server.close();
		this.target.close();
		this.proxy.close();
	}

	/**
	 * Guards against a cut that also affects the other direction or closes the
	 * connection.
	 */
	@Test
	void cutInOneDirectionLetsTheOtherPass() throws IOException {
		this.proxy.change("r", Direction.TO_TARGET, FaultMode.CUT, 0);
		this.client.getOutputStream().write(1);
		this.server.getOutputStream().write(2);
		assertThat(this.client.getInputStream().read()).isEqualTo(2);
		assertSilent(this.server);
	}

	/**
	 * Guards against a stream with missing bytes after a cut, which TCP never delivers.
	 */
	@Test
	void connectionThatLostBytesIsResetWhenTheCutEnds() throws IOException {
		this.proxy.change("r", Direction.TO_TARGET, FaultMode.CUT, 0);
		this.client.getOutputStream().write(1);
		assertSilent(this.server);
		this.proxy.change("r", FaultMode.CONTINUE, 0);
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> {
			if (this.client.getInputStream().read() < 0) {
				throw new IOException("closed");
			}
		});
	}

	/**
	 * Guards against held bytes that are lost, or delivered before the fault ends.
	 */
	@Test
	void heldBytesArriveWhenTheFaultEnds() throws IOException {
		this.proxy.change("r", FaultMode.HOLD, 0);
		this.client.getOutputStream().write(1);
		assertSilent(this.server);
		this.proxy.change("r", FaultMode.CONTINUE, 0);
		this.server.setSoTimeout(0);
		assertThat(this.server.getInputStream().read()).isEqualTo(1);
	}

	/**
	 * Guards against new connections that reach the target during a cut, and against a
	 * route that accepts connections while it refuses them or still refuses them
	 * afterwards.
	 */
	@Test
	void newConnectionsFollowTheFaultOfTheRoute() throws IOException {
		this.proxy.change("r", Direction.TO_CLIENT, FaultMode.CUT, 0);
		this.target.setSoTimeout(SILENCE_MILLISECONDS);
		try (Socket second = new Socket(InetAddress.getLoopbackAddress(), this.port)) {
			assertThat(second.isConnected()).isTrue();
			assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(this.target::accept);
		}
		this.proxy.change("r", FaultMode.CONTINUE, 0);
		this.proxy.refuseConnections("r", true);
		assertThatExceptionOfType(ConnectException.class)
			.isThrownBy(() -> new Socket(InetAddress.getLoopbackAddress(), this.port).close());
		this.proxy.refuseConnections("r", false);
		new Socket(InetAddress.getLoopbackAddress(), this.port).close();
	}

	private static void assertSilent(Socket socket) throws IOException {
		socket.setSoTimeout(SILENCE_MILLISECONDS);
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> socket.getInputStream().read());
	}

}
