package org.marjoramhoist.peer;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** Makes the sockets of the peer connections; safe for use by several threads. */
public interface SocketMaker {

  /** Makes plain TCP sockets. */
  SocketMaker PLAIN =
      new SocketMaker() {
        @Override
        public Socket client() {
          return new Socket();
        }

        @Override
        public ServerSocket server() throws IOException {
          return new ServerSocket();
        }
      };

  /** Returns an unconnected socket. */
  Socket client() throws IOException;

  /** Returns an unbound server socket. */
  ServerSocket server() throws IOException;
}
