package io.moorstage.spec;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.alloy4.Err;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.file.Path;
import java.util.List;
import kodkod.engine.satlab.SATFactory;

/** An Alloy model parsed from the test resources, whose commands run with the SAT4J solver. */
final class AlloyModel {
  private static final String DIRECTORY = "/spec/";
  private static final String SOLVER = "sat4j";

  private final Module module;

  private AlloyModel(Module module) {
    this.module = module;
  }

  /** Parses the model with the given file name. */
  static AlloyModel parse(String fileName) throws Err, URISyntaxException {
    URL resource = AlloyModel.class.getResource(DIRECTORY + fileName);
    String path = Path.of(resource.toURI()).toString();
    return new AlloyModel(CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, path));
  }

  /** Returns the model's commands in the order of the file. */
  List<Command> commands() {
    return module.getAllCommands();
  }

  /**
   * Solves a command.
   *
   * @return the solution; if satisfiable, an instance of a {@code run} or a counterexample of a
   *     {@code check}
   */
  A4Solution execute(Command command) throws Err {
    A4Options options = new A4Options();
    options.solver = SATFactory.find(SOLVER).orElseThrow();
    return TranslateAlloyToKodkod.execute_command(
        A4Reporter.NOP, module.getAllReachableSigs(), command, options);
  }
}
