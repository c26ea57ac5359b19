package org.marjoramhoist.config;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.marjoramhoist.connection.ConnectionLimits;
import org.marjoramhoist.dispatch.SchedulingPolicy;
import org.marjoramhoist.json.InvalidDocumentException;

class NodeSettingsTest {

  private static final String TEXT =
      "{\"host\":\"h\",\"listen\":{\"callers\":\"1.2.3.4:1\",\"ready\":\"1.2.3.4:2\","
          + "\"peers\":\"1.2.3.4:3\"},\"store\":\"1.2.3.5:4\",\"drainSeconds\":6.5}";

  @Test
  void readsSettings() throws InvalidDocumentException {
    NodeSettings settings = NodeSettings.parse("test", TEXT);
    assertThat(settings.host()).isEqualTo("h");
    assertThat(settings.listen().peers()).isEqualTo("1.2.3.4:3");
    assertThat(settings.drainMillis()).isEqualTo(6_500);
    assertThat(settings.leaseMillis()).isEqualTo(1_000);
  }

  /** A deployment that asks for nothing new must be served as before. */
  @Test
  void schedulingIsTheDefaultUnlessAskedFor() throws InvalidDocumentException {
    NodeSettings settings = NodeSettings.parse("test", TEXT);
    // The only part that follows from the process.
    long heapPart = Runtime.getRuntime().maxMemory() / 5 / 1_024 * 1_024;
    assertThat(settings.scheduling())
        .isEqualTo(SchedulingPolicy.DEFAULT.withMaxOpenBytes(heapPart));
  }

  @Test
  void readsMemoryForOpenJobs() throws InvalidDocumentException {
    String scheduling = ",\"scheduling\":{\"maxOpenKib\":10000}}";
    NodeSettings settings =
        NodeSettings.parse("test", TEXT.substring(0, TEXT.length() - 1) + scheduling);
    assertThat(settings.scheduling().maxOpenBytes()).isEqualTo(10_000 * 1_024);
  }

  @Test
  void readsScheduling() throws InvalidDocumentException {
    String scheduling =
        ",\"scheduling\":{\"placement\":\"slack\",\"overload\":\"shed\",\"fairShares\":true,"
            + "\"jobValues\":[{\"priority\":2,\"value\":5.5}]}}";
    NodeSettings settings =
        NodeSettings.parse("test", TEXT.substring(0, TEXT.length() - 1) + scheduling);
    assertThat(settings.scheduling().placement()).isEqualTo(SchedulingPolicy.Placement.SLACK);
    assertThat(settings.scheduling().overload()).isEqualTo(SchedulingPolicy.Overload.SHED);
    assertThat(settings.scheduling().fairShares()).isTrue();
    assertThat(settings.scheduling().jobValue(2)).isEqualTo(5.5);
    assertThat(settings.scheduling().jobValue(0)).isEqualTo(1);
  }

  private static NodeSettings withClients(String clients) throws InvalidDocumentException {
    return NodeSettings.parse(
        "test", TEXT.substring(0, TEXT.length() - 1) + ",\"clients\":" + clients + "}");
  }

  @Test
  void readsWhatClientsMayUse() throws InvalidDocumentException {
    String clients =
        "{\"maxConnections\":100,\"maxCheckConnections\":3,\"maxPeerConnections\":4,"
            + "\"maxLingering\":5,"
            + "\"maxUnfinishedKib\":3000,\"maxOpenKib\":4000,\"maxPeerKib\":5000}";
    assertThat(withClients(clients).clients())
        .isEqualTo(new ConnectionLimits(100, 3, 4, 5, 3_000 << 10, 4_000 << 10, 5_000 << 10));
  }

  @Test
  void clientsLeaveHalfOfTheSocketsToOthers() throws InvalidDocumentException {
    assertThat(withClients("{\"descriptors\":1200}").clients().maxCallers()).isEqualTo(500);
  }

  @Test
  void memoryThatHoldsNoRequestIsAtFault() {
    InvalidDocumentException error =
        assertThrows(InvalidDocumentException.class, () -> withClients("{\"maxOpenKib\":10}"));
    assertThat(error).hasMessageThat().contains("clients.maxOpenKib");
  }

  @Test
  void namesAnUnknownChoice() {
    String scheduling = ",\"scheduling\":{\"overload\":\"drop\"}}";
    InvalidDocumentException error =
        assertThrows(
            InvalidDocumentException.class,
            () -> NodeSettings.parse("test", TEXT.substring(0, TEXT.length() - 1) + scheduling));
    assertThat(error).hasMessageThat().contains("[queue, shed]");
  }

  @Test
  void namesEveryFault() {
    InvalidDocumentException error =
        assertThrows(
            InvalidDocumentException.class,
            () -> NodeSettings.parse("test", "{\"hots\":1,\"leaseMillis\":-3}"));
    assertThat(error).hasMessageThat().contains("hots");
    assertThat(error).hasMessageThat().contains("leaseMillis");
    assertThat(error).hasMessageThat().contains("callers");
  }

  @Test
  void deployedTemplateYieldsSettings() throws IOException, InvalidDocumentException {
    String filled =
        Files.readString(Path.of("deploy/settings.jsonc"))
            .replace("{{node|json}}", "\"h\"")
            .replace("{{zone|json}}", "\"z\"")
            .replace("{{listen.front|json}}", "\"1.2.3.4:1\"")
            .replace("{{listen.ready|json}}", "\"1.2.3.4:2\"")
            .replace("{{platform.address|json}}", "\"1.2.3.5:4\"")
            .replace("{{ip}}", "1.2.3.4")
            .replace("{{internalPorts.0}}", "7720")
            .replace("{{internalPorts.1}}", "7735")
            .replace("{{bounds.holdMaxMs}}", "1000")
            .replace("{{bounds.status_s}}", "120")
            .replace("{{bounds.farX}}", "1.5")
            .replace("{{bounds.graceS}}", "6")
            .replace("{{limits.cpuShare}}", "0.75")
            .replace("{{limits.cores}}", "2")
            .replace("{{limits.linkMbps}}", "200.0")
            .replace("{{limits.maxFds}}", "2212");
    assertThat(filled).doesNotContain("{{");
    NodeSettings settings = NodeSettings.parse("template", filled);
    assertThat(settings.listen().metrics()).isEqualTo("1.2.3.4:7735");
    assertThat(settings.farFactor()).isEqualTo(1.5);
    assertThat(settings.limits()).isEqualTo(new NodeSettings.Limits(1.5, 200));
    assertThat(settings.clients().maxCallers()).isEqualTo(1_006);
  }
}
