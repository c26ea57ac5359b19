package org.marjoramhoist.peer;

/**
 * Bounds what a link may hold, with the other links of this host.
 *
 * <p>To be called on the I/O thread.
 */
interface LinkGuard {

  /** Bounds nothing: for links that this host opened, to hosts that it knows. */
  LinkGuard NONE =
      new LinkGuard() {
        @Override
        public boolean hold(long bytes) {
          return true;
        }

        @Override
        public void messageReceived() {
          // Nothing depends on it.
        }

        @Override
        public int maxFrameBytes() {
          return FrameCodec.MAX_FRAME_BYTES;
        }

        @Override
        public void closed() {
          // Nothing is held.
        }
      };

  /** Sets the bytes that the link holds; returns whether that is possible. */
  boolean hold(long bytes);

  /** The link has delivered a message. */
  void messageReceived();

  /** Returns the longest frame that may be received now. */
  int maxFrameBytes();

  /** The link is closed. */
  void closed();
}
