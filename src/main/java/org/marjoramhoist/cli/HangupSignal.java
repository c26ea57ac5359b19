package org.marjoramhoist.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Runs a task at each SIGHUP, which ends a Java process otherwise.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class HangupSignal {

  private static final String SIGNAL_CLASS = "sun.misc.Signal";
  private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

  private HangupSignal() {}

  /**
   * Installs the task; it is run on a thread of its own.
   *
   * @throws ReflectiveOperationException if this Java runtime has no signals; SIGHUP then ends it
   */
  static void onHangup(Runnable task) throws ReflectiveOperationException {
    Class<?> signalClass = Class.forName(SIGNAL_CLASS);
    Class<?> handlerClass = Class.forName(HANDLER_CLASS);
    Object handler =
        Proxy.newProxyInstance(
            HangupSignal.class.getClassLoader(),
            new Class<?>[] {handlerClass},
            (proxy, method, arguments) -> invoke(task, proxy, method, arguments));
    Object hangup = signalClass.getConstructor(String.class).newInstance("HUP");
    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, hangup, handler);
  }

  private static Object invoke(Runnable task, Object proxy, Method method, Object[] arguments)
      throws IllegalAccessException, InvocationTargetException {
    return switch (method.getName()) {
      case "handle" -> {
        task.run();
        yield null;
      }
      case "equals" -> proxy == arguments[0];
      case "hashCode" -> System.identityHashCode(proxy);
      default -> HangupSignal.class.getSimpleName();
    };
  }
}
