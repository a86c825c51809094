Feature: A gateway that is thawed after its keys were forgotten runs nothing again

  Scenario Outline: Paused, forgotten by owner and witness, and thawed
    Given a confirmation with a key that is forgotten after half a minute
    When it is sent, and <paused> is paused <step>
    And meanwhile it is sent through the <other>
    Then that caller is told <told>
    When the witness has forgotten the key
    And the gateway is thawed
    And it is sent once more through every gateway
    Then it has run <runs>, and nobody was told more than is true

    Examples:
      | paused | step                    | other   | told     | runs  |
      | entry  | before it reads it      | witness | answered | once  |
      | owner  | before it reads it      | entry   | not-run  | never |
      | owner  | while it runs it        | entry   | unknown  | once  |
