package org.marjoramhoist;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(
    packages = "org.marjoramhoist",
    importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  private static final String[] DECISIONS = {
    "org.marjoramhoist.connection",
    "org.marjoramhoist.decision",
    "org.marjoramhoist.dispatch",
    "org.marjoramhoist.lead",
    "org.marjoramhoist.job"
  };

  @ArchTest
  static final ArchRule decisionsUseOnlyValues =
      classes()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              "org.marjoramhoist.connection",
              "org.marjoramhoist.decision",
              "org.marjoramhoist.dispatch",
              "org.marjoramhoist.lead",
              "org.marjoramhoist.job",
              "org.marjoramhoist.model",
              "org.marjoramhoist.message",
              "org.marjoramhoist.resource",
              "org.marjoramhoist.json",
              "org.marjoramhoist.log",
              "com.fasterxml.jackson.annotation",
              "java.lang..",
              "java.util",
              "java.util.function",
              "java.util.stream",
              "java.util.zip",
              "java.nio.charset");

  @ArchTest
  static final ArchRule decisionsHaveNoClockThreadOrRandomness =
      noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .dependOnClassesThat()
          .haveNameMatching(
              "java\\.lang\\.(Thread|Runtime|Process.*|System)"
                  + "|java\\.util\\.(Random|SplittableRandom|UUID|Timer|Date|Calendar)"
                  + "|java\\.time\\..*|java\\.io\\..*|java\\.net\\..*|org\\.apache\\..*");

  @ArchTest
  static final ArchRule decisionsLogOnlyThroughActions =
      noClasses()
          .that()
          .resideInAnyPackage(DECISIONS)
          .should()
          .dependOnClassesThat()
          .haveSimpleName("EventLog");

  @ArchTest
  static final ArchRule adaptersDoNotKnowTheHost =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.marjoramhoist.peer..",
              "org.marjoramhoist.platform..",
              "org.marjoramhoist.upstream..",
              "org.marjoramhoist.http..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.marjoramhoist.host..", "org.marjoramhoist.cli..");

  @ArchTest
  static final ArchRule packagesAreFreeOfCycles =
      slices().matching("org.marjoramhoist.(*)..").should().beFreeOfCycles();
}
