package org.magnolialead.daemon;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

import org.magnolialead.api.log.LogEvent;

/**
 * Handles the signal that tells a daemon to reload its settings. Without a handler the
 * signal terminates the JVM. The types are not part of the public API of the JDK and are
 * therefore accessed by reflection.
 */
final class ReloadSignal {

	private static final System.Logger LOGGER = System.getLogger(ReloadSignal.class.getName());

	private static final String SIGNAL_NAME = "HUP";

	private ReloadSignal() {
	}

	static void handle(Runnable reload) {
		try {
			Class<?> signalType = Class.forName("sun.misc.Signal");
			Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
			Object handler = Proxy.newProxyInstance(ReloadSignal.class.getClassLoader(), new Class<?>[] { handlerType },
					(proxy, method, arguments) -> {
						if (method.getName().equals("handle")) {
							reload.run();
						}
						return null;
					});
			Object signal = signalType.getConstructor(String.class).newInstance(SIGNAL_NAME);
			signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
		}
		catch (ClassNotFoundException | NoSuchMethodException | InstantiationException | IllegalAccessException
				| InvocationTargetException ex) {
			LogEvent.SETTINGS_REFUSED.log(LOGGER, "cannot register a handler for signal " + SIGNAL_NAME + ": " + ex);
		}
	}

}
