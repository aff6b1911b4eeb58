package org.magnolialead.testsupport.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs a fault-injecting proxy as a separate process.
 */
public final class FaultProxyMain {

	@Option(name = "--control", required = true, usage = "address for control requests, host:port")
	private String control;

	@Option(name = "--route", required = true, usage = "route as name,host:port,host:port (listen and target)")
	private List<String> routes = new ArrayList<>();

	private FaultProxyMain() {
	}

	/**
	 * Starts the proxy and prints {@code listening on host:port} with its control
	 * address.
	 * @param arguments command line arguments
	 */
	public static void main(String[] arguments) {
		InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
		FaultProxyMain main = new FaultProxyMain();
		try {
			new CmdLineParser(main).parseArgument(arguments);
			main.start();
		}
		catch (CmdLineException | IllegalArgumentException ex) {
			System.err.println("fault proxy: " + ex.getMessage());
			System.exit(2);
		}
		catch (Exception ex) {
			System.err.println("fault proxy: cannot listen: " + ex.getMessage());
			System.exit(1);
		}
	}

	private void start() {
		FaultProxy proxy = new FaultProxy();
		for (String route : this.routes) {
			String[] parts = route.split(",");
			if (parts.length != 3) {
				throw new IllegalArgumentException("route must have the form name,host:port,host:port: " + route);
			}
			proxy.addRoute(parts[0], address(parts[1]), address(parts[2]));
		}
		int port = proxy.startControlServer(address(this.control));
		System.out.println("listening on " + address(this.control).getHostString() + ":" + port);
	}

	private static InetSocketAddress address(String text) {
		int separator = text.lastIndexOf(':');
		if (separator < 1) {
			throw new IllegalArgumentException("address must have the form host:port, found " + text);
		}
		return new InetSocketAddress(text.substring(0, separator), Integer.parseInt(text.substring(separator + 1)));
	}

}
